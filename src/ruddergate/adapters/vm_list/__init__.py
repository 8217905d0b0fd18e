"""The platform's eventually consistent list of VMs and targets."""
