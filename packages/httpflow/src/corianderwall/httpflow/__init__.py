"""HTTP/1.1 server and client flows with back pressure."""
