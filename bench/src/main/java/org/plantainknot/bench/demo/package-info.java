/** Demo of a whole site on one machine, which kills the leader during a maintenance wave. */
package org.plantainknot.bench.demo;
