"""Requests under which targets crash, and how they are kept from targets."""
