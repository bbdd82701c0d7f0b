package core

// Version is the release that --version prints.
const Version = "0.1.0"
