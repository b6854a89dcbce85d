/** Files under the data folder: identity, log and snapshots, each synced before it takes effect. */
package org.plantainknot.daemon.storage;
