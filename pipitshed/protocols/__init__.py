"""Protocol codecs and buffers shared by frontends, worker clients and discovery."""
