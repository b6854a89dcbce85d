/** Stand-ins for targets, the platform and the network between members. */
package org.plantainknot.bench.standin;
