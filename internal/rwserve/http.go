package rwserve

import (
	"encoding/json"
	"net/http"

	"github.com/kataras/iris/v12"
)

// callersHandler returns the handler for requests of callers.
func (i *Instance) callersHandler() http.Handler {
	app := newApp()
	app.Post("/v1/completions", func(ctx iris.Context) {
		i.gateway.ServeCompletion(ctx.ResponseWriter(), ctx.Request(), false)
	})
	app.Post("/v1/chat/completions", func(ctx iris.Context) {
		i.gateway.ServeCompletion(ctx.ResponseWriter(), ctx.Request(), true)
	})
	app.Get("/v1/generations", func(ctx iris.Context) {
		i.gateway.ServeResume(ctx.ResponseWriter(), ctx.Request())
	})
	app.Get("/v1/models", func(ctx iris.Context) {
		i.gateway.ServeModels(ctx.ResponseWriter(), ctx.Request())
	})
	app.Get("/healthz", func(ctx iris.Context) { _, _ = ctx.WriteString("ok\n") })
	app.Get("/readyz", func(ctx iris.Context) {
		if err := i.Ready(); err != nil {
			ctx.StatusCode(http.StatusServiceUnavailable)
			_, _ = ctx.WriteString(err.Error() + "\n")
			return
		}
		_, _ = ctx.WriteString("ready\n")
	})
	app.Any("/{path:path}", func(ctx iris.Context) {
		i.gateway.ServeService(ctx.ResponseWriter(), ctx.Request())
	})
	return build(app)
}

// newApp returns an Iris application that logs nothing and doesn't redirect to
// corrected paths.
func newApp() *iris.Application {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutBanner, iris.WithoutStartupLog, iris.WithoutPathCorrection, iris.WithoutServerError(iris.ErrServerClosed))
	return app
}

// build compiles the routes. It panics on an invalid route, which is a programming
// error.
func build(app *iris.Application) http.Handler {
	if err := app.Build(); err != nil {
		panic(err)
	}
	return app
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(v)
}
