"""The platform's configuration service, which is only read and watched."""
