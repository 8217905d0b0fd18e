"""The fleet: VMs, targets, their listing and their load."""
