/** Stand-ins for targets and the platform. */
package org.plantainknot.bench.standin;
