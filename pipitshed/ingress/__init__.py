"""The fronts: bytes from clients to exchanges, and answers back."""
