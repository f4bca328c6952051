package main

import "os"

// readDirNames returns the names in a folder.
func readDirNames(path string) ([]string, error) {
	folder, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = folder.Close() }()
	return folder.Readdirnames(-1)
}
