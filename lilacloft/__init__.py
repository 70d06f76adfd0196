"""lilacloft: decides where objects are served, kept and filled from."""
