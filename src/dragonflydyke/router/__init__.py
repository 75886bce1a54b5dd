"""The program dragonflydyke-router."""
