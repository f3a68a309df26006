"""Membership of the VMs that serve one operators' folder."""
