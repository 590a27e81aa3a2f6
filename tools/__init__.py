"""Programs for building and checking the repository; nothing that runs in service imports them."""
