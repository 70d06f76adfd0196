"""Stand-ins and processes for the cases of the second review. Standard library only."""
