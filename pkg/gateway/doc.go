// Package gateway joins the decisions of one gateway daemon: its peers, the replicas behind it and the requests before it.
package gateway
