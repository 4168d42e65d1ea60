package rwsettings

import "github.com/juju/errors"

// errNoWatcher ends a watch because other instances of the zone watch now.
var errNoWatcher = errors.New("no longer a watcher")
