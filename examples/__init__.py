"""What programs do with the client library. Each is run by the stories, on a mesh in memory."""
