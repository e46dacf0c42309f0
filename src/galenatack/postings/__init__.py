"""Tickets, claims and the posting registry."""
