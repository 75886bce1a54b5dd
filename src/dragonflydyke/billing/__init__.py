"""Bills, their journal in the platform, and copies on other VMs."""
