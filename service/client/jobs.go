package client

import (
	"context"
	"net/url"

	"github.com/gannetwell/gannetwell/service/api"
)

// Shards returns who owns each shard of the job service and how busy it is.
func (c *Client) Shards(ctx context.Context) (shards api.Shards, err error) {
	err = c.call(ctx, api.PathShards, nil, nil, &shards)
	return shards, err
}

// Zones returns the availability zones that are out of use, and what runs there still.
func (c *Client) Zones(ctx context.Context) (zones api.Zones, err error) {
	err = c.call(ctx, api.PathZones, nil, nil, &zones)
	return zones, err
}

// Job returns what callers are told of a job, and who answers for it.
func (c *Client) Job(ctx context.Context, queue, id string) (job api.JobStatus, err error) {
	err = c.call(ctx, api.PathJobs+"/"+url.PathEscape(queue)+"/"+url.PathEscape(id), nil, nil, &job)
	return job, err
}

// Accounts returns what client accounts have been promised and what they have running.
func (c *Client) Accounts(ctx context.Context) (accounts api.Accounts, err error) {
	err = c.call(ctx, api.PathAccounts, nil, nil, &accounts)
	return accounts, err
}
