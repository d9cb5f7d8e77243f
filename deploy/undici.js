// The parts of undici that the daemon uses. Loading all of it would double the startup time.
const Dispatcher = require('../node_modules/undici/lib/dispatcher/dispatcher');
const api = require('../node_modules/undici/lib/api');

Object.assign(Dispatcher.prototype, api);

module.exports = {
  Agent: require('../node_modules/undici/lib/dispatcher/agent'),
  Client: require('../node_modules/undici/lib/dispatcher/client'),
  buildConnector: require('../node_modules/undici/lib/core/connect'),
};
