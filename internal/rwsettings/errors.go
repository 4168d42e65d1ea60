package rwsettings

import "github.com/juju/errors"

// errNotWatcher ends a watch because other instances of the zone are its watchers now.
var errNotWatcher = errors.New("this instance is no longer a watcher of its zone")
