"""State and protocols of single connections and flows."""
