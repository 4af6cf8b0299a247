package main

import (
	"os"
	"testing"

	"dogwoodhitch/io/dhtestcluster"
)

func TestMain(m *testing.M) { os.Exit(dhtestcluster.RunTests(m)) }

// newCluster starts voters and one entry instance in each zone.
func newCluster(t *testing.T, voters int, zones ...string) *dhtestcluster.Cluster {
	t.Helper()
	return dhtestcluster.New(t, dhtestcluster.Options{Voters: voters, Zones: zones})
}
