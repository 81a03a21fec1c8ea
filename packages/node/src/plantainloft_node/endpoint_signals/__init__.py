"""What endpoints announce about themselves in their responses: leaving and rest."""
