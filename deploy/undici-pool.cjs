/** Replaces undici's index in the bundle by what the program uses of it: pools and their requests. */
"use strict";
const Dispatcher = require("../node_modules/undici/lib/dispatcher/dispatcher.js");
const Pool = require("../node_modules/undici/lib/dispatcher/pool.js");
Dispatcher.prototype.request = require("../node_modules/undici/lib/api/api-request.js");
module.exports = { Pool };
