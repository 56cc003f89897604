//go:build never

package bergamotdale

import (
	_ "connectrpc.com/connect"
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/danielgtaylor/huma/v2"
	_ "github.com/danielgtaylor/huma/v2/adapters/humago"
	_ "github.com/goccy/go-yaml"
	_ "github.com/integrii/flaggy"
	_ "github.com/oklog/run"
	_ "github.com/openai/openai-go"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/samber/do/v2"
	_ "github.com/samber/lo"
	_ "go.opentelemetry.io/otel/exporters/prometheus"
	_ "go.opentelemetry.io/otel/sdk/metric"
	_ "go.uber.org/zap"
	_ "golang.org/x/sync/errgroup"
	_ "google.golang.org/protobuf/proto"
	_ "pgregory.net/rapid"
)
