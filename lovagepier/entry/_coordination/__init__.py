"""What the coordinator decides for all hosts."""
