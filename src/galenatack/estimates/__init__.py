"""What calls cost and what targets still have to do."""
