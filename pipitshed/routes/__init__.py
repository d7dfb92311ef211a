"""What fills the route table: discovery's list and watch, and DNS-SD records."""
