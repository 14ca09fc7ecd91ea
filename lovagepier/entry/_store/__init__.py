"""What this host knows of the platform's store."""
