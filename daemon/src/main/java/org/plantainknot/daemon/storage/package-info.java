/** Files under the data folder: identity, log and snapshots, each synced before it counts. */
package org.plantainknot.daemon.storage;
