"""Control messages between the system's processes, over pynng."""
