"""What an agent decides about one request, whatever carried it here."""
