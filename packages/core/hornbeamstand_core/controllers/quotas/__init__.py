"""Quotas of organisations over all VMs: who holds tokens, and who spends them."""
