"""Links to the other entry hosts and the choice of their coordinator."""
