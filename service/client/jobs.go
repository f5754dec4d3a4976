package client

import (
	"context"
	"net/url"

	"github.com/gannetwell/gannetwell/service/api"
)

// Shards returns the owner and load of each shard of the job service.
func (c *Client) Shards(ctx context.Context) (shards api.Shards, err error) {
	err = c.call(ctx, api.PathShards, nil, nil, &shards)
	return shards, err
}

// Zones returns the availability zones that are out of use, and what still runs there.
func (c *Client) Zones(ctx context.Context) (zones api.Zones, err error) {
	err = c.call(ctx, api.PathZones, nil, nil, &zones)
	return zones, err
}

// Waves returns the open maintenance waves of the job service.
func (c *Client) Waves(ctx context.Context) (waves api.Waves, err error) {
	err = c.call(ctx, api.PathWaves, nil, nil, &waves)
	return waves, err
}

// Job returns the state of a job and the owner of its shard.
func (c *Client) Job(ctx context.Context, queue, id string) (job api.JobStatus, err error) {
	err = c.call(ctx, api.PathJobs+"/"+url.PathEscape(queue)+"/"+url.PathEscape(id), nil, nil, &job)
	return job, err
}

// Accounts returns the limits and usage of client accounts.
func (c *Client) Accounts(ctx context.Context) (accounts api.Accounts, err error) {
	err = c.call(ctx, api.PathAccounts, nil, nil, &accounts)
	return accounts, err
}
