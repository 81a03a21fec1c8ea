"""Request placement: pure decisions without network access or a clock of their own."""
