"""How traffic moves to a new version, and when it is rolled back."""
