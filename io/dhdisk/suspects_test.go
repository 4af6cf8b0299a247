package dhdisk

import (
	"errors"
	"os"
	"testing"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhmessage"
)

func suspect(content byte, crashes ...uint64) dhmessage.Suspect {
	return dhmessage.NewSuspect(dhmessage.SuspectOptions{
		Fingerprint: dhmessage.NewFingerprint("o", dhcatalog.Hash{content}), Acquittals: 2, Crashes: crashes, Age: 1500,
	})
}

// TestReopenForgetsSuspects stores suspects, replaces them by others and by none, and reopens
// the folder after each step.
func TestReopenForgetsSuspects(t *testing.T) {
	path := foundFolder(t)
	for _, list := range [][]dhmessage.Suspect{nil, {suspect(1, 3, 4, 5), suspect(2, 4, 5, 6)}, {suspect(2, 4, 5, 6, 7)}, nil} {
		f := openFolder(t, path)
		if err := f.SaveSuspects(list); err != nil {
			t.Fatal(err)
		}
		f.Close()
		f = openFolder(t, path)
		got := f.State().Suspects()
		f.Close()
		if len(got) != len(list) {
			t.Fatalf("got %d suspects, want %d", len(got), len(list))
		}
		for i, want := range list {
			if got[i].Fingerprint() != want.Fingerprint() || len(got[i].Crashes()) != len(want.Crashes()) || got[i].Acquittals() != 2 || got[i].Age() != 1500 {
				t.Errorf("suspect %d: got %+v, want %+v", i, got[i], want)
			}
		}
	}
}

// TestFolderWithoutSuspects opens a folder of a release that stores none.
func TestFolderWithoutSuspects(t *testing.T) {
	if list := openFolder(t, foundFolder(t)).State().Suspects(); list != nil {
		t.Errorf("got suspects %v, want none", list)
	}
}

// TestCorruptSuspectsAreReported flips a bit in each byte of the file, and cuts it after each.
func TestCorruptSuspectsAreReported(t *testing.T) {
	path := foundFolder(t)
	f := openFolder(t, path)
	if err := f.SaveSuspects([]dhmessage.Suspect{suspect(1, 3, 4, 5)}); err != nil {
		t.Fatal(err)
	}
	f.Close()
	intact, err := os.ReadFile(suspectsPath(path))
	if err != nil {
		t.Fatal(err)
	}
	check := func(raw []byte) {
		t.Helper()
		os.WriteFile(suspectsPath(path), raw, filePermission)
		var corrupt CorruptionError
		if _, err := Open(path, "c1"); !errors.As(err, &corrupt) {
			t.Errorf("got error %v, want a CorruptionError", err)
		}
	}
	for i := range intact {
		flipped := append([]byte{}, intact...)
		flipped[i] ^= 0x40
		check(flipped)
		check(intact[:i])
	}
}
