// The parts of undici that the daemon uses. The whole package would double the time of a start.
module.exports = {
  Agent: require('../node_modules/undici/lib/dispatcher/agent'),
  Client: require('../node_modules/undici/lib/dispatcher/client'),
  buildConnector: require('../node_modules/undici/lib/core/connect'),
  request: require('../node_modules/undici/lib/api').request,
};
