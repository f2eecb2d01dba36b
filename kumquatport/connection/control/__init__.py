"""Control messages between processes, over pynng."""
