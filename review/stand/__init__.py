"""Small stand-ins for clients, backend servers and the platform, and a test bed for them."""
