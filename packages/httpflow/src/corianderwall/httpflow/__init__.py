"""HTTP/1.1 server and client with streaming and back pressure."""
