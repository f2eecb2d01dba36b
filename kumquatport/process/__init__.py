"""Programs and the components that live as long as their process."""
