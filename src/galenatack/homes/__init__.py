"""Where calls may run: home regions and evacuated data centres."""
