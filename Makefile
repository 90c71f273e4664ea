# The two commands of the README.
.PHONY: demo test check build

# demo runs the main job on the stand-ins.
demo: build
	./bin/jacinthgate-demo

# test passes all tests, with the race detector. SKIP is a pattern of tests to
# pass over; only CI sets it, from KNOWN-RED.txt.
test:
	go test -race $(if $(SKIP),-skip '$(SKIP)') ./...

# check runs the formatter, vet and staticcheck.
check:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; exit 1; }
	go vet ./...
	go tool staticcheck ./...

# build builds every binary into bin/.
build:
	go build -o bin/ ./cmd/...
