"""The agent: reads the platform, gossips with peers, feeds its entry."""
