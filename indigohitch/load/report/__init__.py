"""What a replay gave, as text, and as one page with plots."""
