"""Which hosts are live, who coordinates, and who may write."""
