"""What lives for one version: documents, members, tables."""
