/** Stand-ins for the environment, a load generator, the demo and the measurements. */
package org.plantainknot.bench;
